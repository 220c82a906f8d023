"""`thorndale plan`: the losses asked for, one after the other, and the `sites` that follow from all of them."""

from thorndale.sites.planner import plan


def losses(settings, names, servers):
    """(what it says, lost site, lost server) for each name, for every site where none is named. Raises KeyError."""
    sites = [s.name for s in settings.sites]
    found = []
    for name in names or sites:
        if name in sites:
            found.append((f"site {name}", sites.index(name), None))
        elif name in servers:
            found.append((f"server {name}", None, name))
        else:
            raise KeyError(name)
    return found


def show(settings, servers, load, asked, echo):
    """Prints each loss's plan and the `sites` block. Raises SitesError."""
    sites = [s.name for s in settings.sites]
    types = [t.name for t in settings.call_types]
    most = [0.0] * len(sites)
    for said, site, server in asked:
        found = plan(servers, load, sites, site, server)
        part = found.earned / found.offered_revenue if found.offered_revenue else 1.0
        echo(f"// {said} lost: {found.earned:.1f} of {found.offered_revenue:.1f} revenue a second kept ({part:.3f})")
        for t, rows in enumerate(found.served):
            for o, row in enumerate(rows):
                if load.offered[t][o]:
                    went = ", ".join(f"{rate:.1f} to {sites[s]}" for s, rate in enumerate(row) if rate)
                    echo(f"//   {types[t]} from {sites[o]}, {load.offered[t][o]:.1f} a second: {went or 'none served'}")
        for text, worth in found.bottlenecks:
            echo(f"//   held down by {text}: one more would earn {worth:.2f} a second")
        most = [max(a, b) for a, b in zip(most, found.outside, strict=True)]
    echo("sites: [")
    for site, rate in zip(settings.sites, most, strict=True):
        groups = ", ".join(f'"{g}"' for g in site.trunk_groups)
        after = "" if site.next is None else ", next: [" + ", ".join(f'"{n}"' for n in site.next) + "]"
        echo(f'  {{ name: "{site.name}", trunk_groups: [{groups}], outside_per_s: {rate:.1f}{after} }},')
    echo("],")
