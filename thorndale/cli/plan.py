"""`thorndale plan`: prints the plan for each requested loss, and the `sites` block that covers all of them."""

from thorndale.sites.planner import plan


def losses(settings, names, servers):
    """(description, lost site, lost server) for each name, or for every site if there are no names. Raises KeyError."""
    sites = [s.name for s in settings.sites]
    requested = []
    for name in names or sites:
        if name in sites:
            requested.append((f"site {name}", sites.index(name), None))
        elif name in servers:
            requested.append((f"server {name}", None, name))
        else:
            raise KeyError(name)
    return requested


def show(settings, servers, load, requested, echo):
    """Prints each loss's plan and the `sites` block. Raises SitesError."""
    sites = [s.name for s in settings.sites]
    types = [t.name for t in settings.call_types]
    outside_per_s = [0.0] * len(sites)
    for description, site, server in requested:
        result = plan(servers, load, sites, site, server)
        share = result.earned / result.offered_revenue if result.offered_revenue else 1.0
        echo(
            f"// {description} lost: {result.earned:.1f} of {result.offered_revenue:.1f} revenue a second kept "
            f"({share:.3f})"
        )
        for call_type, rows in enumerate(result.served):
            for origin, row in enumerate(rows):
                if load.offered[call_type][origin]:
                    destinations = ", ".join(f"{rate:.1f} to {sites[s]}" for s, rate in enumerate(row) if rate)
                    echo(
                        f"//   {types[call_type]} from {sites[origin]}, "
                        f"{load.offered[call_type][origin]:.1f} a second"
                        f": {destinations or 'none served'}"
                    )
        for text, gain in result.bottlenecks:
            echo(f"//   held down by {text}: one more would earn {gain:.2f} a second")
        outside_per_s = [max(a, b) for a, b in zip(outside_per_s, result.outside, strict=True)]
    echo("sites: [")
    for site, rate in zip(settings.sites, outside_per_s, strict=True):
        groups = ", ".join(f'"{g}"' for g in site.trunk_groups)
        next_key = "" if site.next is None else ", next: [" + ", ".join(f'"{n}"' for n in site.next) + "]"
        echo(f'  {{ name: "{site.name}", trunk_groups: [{groups}], outside_per_s: {rate:.1f}{next_key} }},')
    echo("],")
