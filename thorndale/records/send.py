"""Batches over HTTP to a collector: one POST each under its Idempotency-Key (draft-ietf-httpapi-idempotency-key-
header), its bytes covered by a Content-Digest (RFC 9530); the manifest last, so that the far side can count."""

import base64
import json
import os
import random
import time
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait

import urllib3

from thorndale.records.delivery import DONE, WINDOW, Delivery

TYPES = {"csv": "text/csv; charset=utf-8", "parquet": "application/vnd.apache.parquet", "json": "application/json"}


def _now():
    return time.monotonic_ns() // 1000


def key_of(manifest, batch):
    """The same for the same batch of the same export, however often it is sent."""
    return f"{manifest['id']}-{batch['file'].partition('.')[0]}-{batch['sha256'][:16]}"


def deliver(
    folder, manifest, state, url, timeout_s=10.0, limit_s=600.0, told=lambda counts: None, chance=random.random
):
    """Sends what `state` does not know as stored, then the manifest. Gives ('done', 'stuck' or 'no progress', counts,
    reasons)."""
    batches = manifest["batches"]
    last = len(batches)  # the manifest's own number
    delivery = Delivery(last, state.done, chance, int(limit_s * 1e6), _now())
    pool = urllib3.PoolManager(maxsize=WINDOW, retries=False, timeout=urllib3.Timeout(timeout_s))
    with ThreadPoolExecutor(WINDOW) as threads:
        how = _run(
            delivery, threads, lambda n: _post(pool, url, folder, batches[n], key_of(manifest, batches[n])), state, told
        )
        if how == "done" and last not in state.done:
            whole = Delivery(last + 1, set(range(last)), chance, int(limit_s * 1e6), _now())
            end = {"file": "manifest.json", "sha256": manifest["id"]}
            how = _run(
                whole, threads, lambda n: _post(pool, url, folder, end, f"{manifest['id']}-manifest"), state, told
            )
            delivery.count += whole.count
            delivery.why.update(whole.why)
    pool.clear()
    return how, delivery.count, delivery.why


def _run(delivery, threads, post, state, told):
    out = {}
    while not delivery.over(_now()):
        for n in delivery.want(_now()):
            out[threads.submit(post, n)] = n
        at = delivery.next_at()
        pause = 0.5 if at is None else min(0.5, max(0.001, (at - _now()) / 1e6))
        done, _ = wait(out, timeout=pause, return_when=FIRST_COMPLETED) if out else (set(), None)
        if not out:
            time.sleep(pause)
        for future in done:
            n = out.pop(future)
            if delivery.answered(_now(), n, *future.result()) == DONE:
                state.stored(n)
            told(delivery.count)
    wait(out)
    for future, n in out.items():  # what was still out when it ended: an answer that came counts
        if delivery.answered(_now(), n, *future.result()) == DONE:
            state.stored(n)
    return delivery.over(_now())


def _post(pool, url, folder, batch, key):
    """(status, Retry-After in us); status 0 where no answer came."""
    with open(os.path.join(folder, batch["file"]), "rb") as file:
        body = file.read()
    headers = {"Content-Type": TYPES[batch["file"].rpartition(".")[2]], "Idempotency-Key": json.dumps(key)}
    if batch["file"] != "manifest.json":
        digest = base64.b64encode(bytes.fromhex(batch["sha256"])).decode()
        headers["Content-Digest"] = f"sha-256=:{digest}:"
    try:
        answer = pool.request("POST", url, body=body, headers=headers)
    except urllib3.exceptions.HTTPError:
        return 0, 0
    after = answer.headers.get("Retry-After", "")
    return answer.status, int(after) * 1_000_000 if after.isascii() and after.isdigit() and len(after) < 7 else 0
