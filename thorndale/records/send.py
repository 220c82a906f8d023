"""Delivers batches over HTTP to a collector: one POST each with an Idempotency-Key (draft-ietf-httpapi-idempotency-
key-header) and a Content-Digest (RFC 9530). The manifest is sent last, so that the collector can check completeness."""

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
    """The Idempotency-Key: the same each time the same batch of the same export is sent."""
    return f"{manifest['id']}-{batch['file'].partition('.')[0]}-{batch['sha256'][:16]}"


def deliver(
    folder,
    manifest,
    state,
    url,
    timeout_s=10.0,
    limit_s=600.0,
    on_progress=lambda counts: None,
    random_draw=random.random,
):
    """Sends the batches that `state` does not list as stored, then the manifest. Returns ('done', 'stuck' or 'no
    progress', counts, {batch: HTTP status that refused it})."""
    batches = manifest["batches"]
    manifest_number = len(batches)  # the manifest is sent as one more batch
    delivery = Delivery(manifest_number, state.done, random_draw, int(limit_s * 1e6), _now())
    pool = urllib3.PoolManager(maxsize=WINDOW, retries=False, timeout=urllib3.Timeout(timeout_s))
    with ThreadPoolExecutor(WINDOW) as threads:
        outcome_text = _run(
            delivery,
            threads,
            lambda n: _post(pool, url, folder, batches[n], key_of(manifest, batches[n])),
            state,
            on_progress,
        )
        if outcome_text == "done" and manifest_number not in state.done:
            manifest_delivery = Delivery(
                manifest_number + 1, set(range(manifest_number)), random_draw, int(limit_s * 1e6), _now()
            )
            manifest_batch = {"file": "manifest.json", "sha256": manifest["id"]}
            outcome_text = _run(
                manifest_delivery,
                threads,
                lambda n: _post(pool, url, folder, manifest_batch, f"{manifest['id']}-manifest"),
                state,
                on_progress,
            )
            delivery.count += manifest_delivery.count
            delivery.refusals.update(manifest_delivery.refusals)
    pool.clear()
    return outcome_text, delivery.count, delivery.refusals


def _run(delivery, threads, post, state, on_progress):
    in_flight = {}
    while not delivery.outcome(_now()):
        for n in delivery.next_batches(_now()):
            in_flight[threads.submit(post, n)] = n
        next_at_us = delivery.next_at()
        pause_s = 0.5 if next_at_us is None else min(0.5, max(0.001, (next_at_us - _now()) / 1e6))
        done, _ = wait(in_flight, timeout=pause_s, return_when=FIRST_COMPLETED) if in_flight else (set(), None)
        if not in_flight:
            time.sleep(pause_s)
        for future in done:
            n = in_flight.pop(future)
            if delivery.take_answer(_now(), n, *future.result()) == DONE:
                state.stored(n)
            on_progress(delivery.count)
    wait(in_flight)
    for future, n in in_flight.items():  # requests in flight when the run ended: their answers count
        if delivery.take_answer(_now(), n, *future.result()) == DONE:
            state.stored(n)
    return delivery.outcome(_now())


def _post(pool, url, folder, batch, key):
    """Returns (status, Retry-After in us); status 0 if no answer arrived."""
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
    retry_after = answer.headers.get("Retry-After", "")
    return answer.status, int(retry_after) * 1_000_000 if retry_after.isascii() and retry_after.isdigit() and len(
        retry_after
    ) < 7 else 0
