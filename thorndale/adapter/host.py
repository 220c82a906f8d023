"""Hosts proxy instances that share no state: reads batches, passes their events on, writes one reply a batch."""

from thorndale import fields as field
from thorndale.adapter import frames
from thorndale.adapter.codec import WireCodec, list_entry
from thorndale.policy import Proxy
from thorndale.settings import module_settings


class Host:
    def __init__(self):
        self.lists, self.codecs, self.proxies = {}, {}, {}

    def _start_proxy(self, proxy_id, fields):
        info = {k: v for k, v in fields.items() if k not in ("proxy", "seed")}
        settings = module_settings(info)
        self.codecs[proxy_id] = WireCodec(len(settings["type_revenue"]))
        self.proxies[proxy_id] = Proxy(field.required(fields, "seed", field.integer), settings)

    def run(self, now_us, lines):
        """Handles one batch, given as pairs of line number and text; returns the lines of the reply."""
        batch, open_list, reply = {}, None, []
        for line_number, text in lines:
            try:
                name, fields = frames.parse_line(text)
                if name == "DEFINE_LIST":
                    open_list = (
                        field.required(fields, "ref", field.integer),
                        field.required(fields, "items", field.integer),
                    )
                    self.lists[open_list[0]] = []
                    continue
                if name == "ITEM":
                    if open_list is None or len(self.lists[open_list[0]]) >= open_list[1]:
                        raise field.InputError("an ITEM outside a list")
                    self.lists[open_list[0]].append(list_entry(fields))
                    continue
                if open_list is not None and len(self.lists[open_list[0]]) != open_list[1]:
                    raise field.InputError(f"list {open_list[0]} ends short of its {open_list[1]} items")
                open_list = None
                proxy_id = field.required(fields, "proxy", field.integer)
                if name == "POWER_OFF":
                    for by_proxy in (self.codecs, self.proxies, batch):
                        by_proxy.pop(proxy_id, None)
                    continue
                if name == "BOOT":
                    batch.pop(proxy_id, None)
                    self._start_proxy(proxy_id, fields)
                    batch[proxy_id] = []
                    continue
                if proxy_id not in self.codecs:
                    raise field.InputError(f"proxy {proxy_id} was never started")
                event = self.codecs[proxy_id].event(name, fields, self.lists)
                batch.setdefault(proxy_id, [])
                if event is not None:
                    batch[proxy_id].append(event)
            except field.InputError as error:
                raise field.InputError(f"line {line_number} ({text.split(chr(9))[0][:40]}): {error}") from None
        if open_list is not None and len(self.lists[open_list[0]]) != open_list[1]:
            raise field.InputError(f"list {open_list[0]} ends short of its {open_list[1]} items at the end of a batch")
        for proxy_id, events in batch.items():
            codec = self.codecs[proxy_id]
            reply += [codec.action_line(proxy_id, action) for action in self.proxies[proxy_id].handle(now_us, events)]
            for event in events:
                codec.after_event(event)
        return reply


def serve(input_lines, output, errors):
    """Runs until the end of input (0) or until an input or program error (1)."""
    host, now_us, lines, line_number, proxy_id = Host(), None, [], 0, None
    try:
        for raw in input_lines:
            line_number += 1
            try:
                text = raw.decode("utf-8").rstrip("\r\n")
            except UnicodeDecodeError:
                raise field.InputError(f"line {line_number}: not UTF-8") from None
            name = text.partition("\t")[0]
            if name == "MARK":
                if now_us is not None:
                    raise field.InputError(f"line {line_number}: MARK inside a batch")
                try:
                    now_us = field.required(frames.parse_line(text)[1], "tMs", field.ms_to_us)
                except field.InputError as error:
                    raise field.InputError(f"line {line_number} (MARK): {error}") from None
            elif now_us is None:
                if text:
                    raise field.InputError(f"line {line_number}: {name[:40]!r} outside a batch")
            elif name == "COMMIT":
                reply = host.run(now_us, lines)
                output.write(("\n".join([*reply, "END"]) + "\n").encode())
                output.flush()
                now_us, lines = None, []
            else:
                if proxy_id is None or "proxy=" in text:
                    proxy_id = text.partition("proxy=")[2].partition("\t")[0] or proxy_id
                lines.append((line_number, text))
        if now_us is not None:
            raise field.InputError(f"line {line_number}: input ends inside a batch")
        return 0
    except BrokenPipeError:
        return 1
    except Exception as error:  # an error in the module ends the run too, with a plain message and no traceback
        message = (
            str(error)
            if isinstance(error, field.InputError)
            else f"fault near line {line_number}: {type(error).__name__}: {error}"
        )
        print(f"thorndale.adapter: {message}", file=errors)
        if proxy_id is not None and proxy_id.isdigit():
            output.write(
                (frames.format_line("PANIC", proxy=proxy_id, reasonText=" ".join(message.split())) + "\nEND\n").encode()
            )
            output.flush()
        return 1
