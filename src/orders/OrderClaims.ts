import { createHash } from "node:crypto";
import { PeerMethod } from "../peers/index.js";
import { runWithTimeout } from "../time/index.js";
import type { ClaimAnswer } from "./ClaimAnswer.js";
import { ClaimBucket } from "./ClaimBucket.js";
import type { ClaimOrderParams } from "./ClaimOrderParams.js";
import { ClaimState } from "./ClaimState.js";
import type { OrderRecord } from "./OrderRecord.js";
import type { OrderRunnerOptions } from "./OrderRunnerOptions.js";

const BUCKET_COUNT = 64;
const FLEET_WRITES_PER_SECOND = 256;
const MS_PER_SECOND = 1_000;
const CLAIM_TIMEOUT_MS = 1_000;
const DIGEST_LENGTH = 22;

/** Claims plain idempotency keys, which have no prefix, in the store. One host batches the claims of each bucket. */
export class OrderClaims {
    readonly #options: OrderRunnerOptions;
    readonly #buckets = new Map<number, ClaimBucket>();
    #nextId = 1;

    /** @param options - Clock, membership, transport, handlers and store. */
    constructor(options: OrderRunnerOptions) {
        this.#options = options;
        options.handlers.add(PeerMethod.ClaimOrder, params => this.#getBucket(params.bucket).run(params));
    }

    /** Creates an id that no other claim has. */
    createId(): string {
        const { id, incarnation } = this.#options.membership.getSelf();
        return `${id}/${incarnation}/${this.#nextId++}`;
    }

    /**
     * Claims an order's key for this process; never rejects.
     * @param record - The order's record.
     * @param deadline - When to give up, in milliseconds of the clock.
     */
    async claim(record: OrderRecord, deadline: number): Promise<ClaimAnswer> {
        const { account, key, claimId, holder } = record;
        return await this.#runUntil(deadline, { ...getBucketAndDigest(account, key), claimId, holder });
    }

    /**
     * Finds the holder of a key's claim; never rejects.
     * @param account - The account's name; undefined for callers without an API key.
     * @param key - The key.
     * @param deadline - When to give up, in milliseconds of the clock.
     */
    async find(account: string | undefined, key: string, deadline: number): Promise<ClaimAnswer> {
        const { id, incarnation } = this.#options.membership.getSelf();
        const holder = { memberId: id, incarnation };
        return await this.#runUntil(deadline, { ...getBucketAndDigest(account, key), holder });
    }

    async #runUntil(deadline: number, params: ClaimOrderParams): Promise<ClaimAnswer> {
        const { clock } = this.#options;
        const remainingMs = Math.max(0, deadline - clock.getTime());
        return await runWithTimeout(clock, remainingMs, this.#send(params), () => ({ state: ClaimState.Unavailable }));
    }

    /** Sends the claim to the host that batches this bucket; writes to the store directly if that host can't be reached. */
    async #send(params: ClaimOrderParams): Promise<ClaimAnswer> {
        const { membership, transport } = this.#options;
        const host = membership.getAccountHosts(`order-claims/${params.bucket}`)[0];
        if (host === undefined || host.id === membership.getSelf().id || !membership.isReachable(host.id)) {
            return await this.#getBucket(params.bucket).run(params);
        }
        try {
            return await transport.send(host.peerAddress, PeerMethod.ClaimOrder, params, CLAIM_TIMEOUT_MS);
        }
        catch {
            return await this.#getBucket(params.bucket).run(params);
        }
    }

    #getBucket(index: number): ClaimBucket {
        const existing = this.#buckets.get(index);
        if (existing !== undefined) {
            return existing;
        }
        const { clock, store } = this.#options;
        const pauseMs = BUCKET_COUNT / FLEET_WRITES_PER_SECOND * MS_PER_SECOND;
        const bucket = new ClaimBucket({ clock, store, key: `order-claims/${index}`, pauseMs });
        this.#buckets.set(index, bucket);
        return bucket;
    }
}

function getBucketAndDigest(account: string | undefined, key: string): { bucket: number; digest: string; } {
    const hash = createHash("sha256").update(JSON.stringify([account ?? null, key])).digest();
    return { bucket: hash.readUInt32BE(0) % BUCKET_COUNT, digest: hash.toString("base64url").slice(0, DIGEST_LENGTH) };
}
