import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { closeServer, openServer, readBody } from "../../../src/utils/index.js";
import { StoreFaultMode } from "./StoreFaultMode.js";

interface StoredItem {
    readonly key: string;
    readonly value: string;
    readonly rev: number;
    readonly created: number;
    readonly lease: number;
}

interface StoredEvent {
    readonly key: string;
    readonly rev: number;
    readonly value?: string;
    readonly tombstone?: true;
}

interface Lease {
    readonly ttlMs: number;
    timer: NodeJS.Timeout;
}

/** The state of the store at a time. */
interface StoreCopy {
    readonly items: ReadonlyMap<string, StoredItem>;
    readonly events: readonly StoredEvent[];
    readonly revision: number;
    readonly leases: readonly number[];
    readonly nextLease: number;
}

const PAGE_ITEMS = 50;
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** An in-memory HTTP server with the API of the platform's store. */
export class MockPlatformStore {
    /** The items and their revision as reads that allow old data get them. */
    #stale: { readonly items: readonly StoredItem[]; readonly revision: number; } | undefined;
    #faultMode = StoreFaultMode.None;
    /** Method and path of each call, oldest first. */
    readonly calls: string[] = [];
    /** Replaces the value of an item that a host writes; both are base64. */
    changeValue: (key: string, value: string) => string = (_key, value) => value;
    readonly #server: Server;
    readonly #items = new Map<string, StoredItem>();
    readonly #leases = new Map<number, Lease>();
    readonly #pendingWatches = new Set<() => void>();
    #events: StoredEvent[] = [];
    #historyStart = 1;
    #revision = 1;
    /** Rises each time the store returns from a copy; undefined if the store does not tell. */
    #era: number | undefined = 1;
    #nextLease = 1;
    #address = "";

    constructor() {
        this.#server = createServer((request, response) => void this.#run(request, response));
    }

    get faultMode(): StoreFaultMode {
        return this.#faultMode;
    }

    set faultMode(mode: StoreFaultMode) {
        this.#faultMode = mode;
        this.#stale = mode === StoreFaultMode.StaleOnly
            ? { items: [...this.#items.values()], revision: this.#revision }
            : undefined;
        this.#publish();
    }

    /** Starts listening and returns the address. */
    async start(): Promise<string> {
        const port = await openServer(this.#server, "127.0.0.1:0");
        this.#address = `127.0.0.1:${port}`;
        return this.#address;
    }

    /** Stops at once and ends pending watches. */
    async stop(): Promise<void> {
        this.#leases.forEach(lease => clearTimeout(lease.timer));
        this.#pendingWatches.forEach(checkAgain => checkAgain());
        await closeServer(this.#server);
    }

    /** Gets the address. */
    getAddress(): string {
        return this.#address === "" ? String((this.#server.address() as AddressInfo).port) : this.#address;
    }

    /**
     * Writes an item, as an operator or an upstream would.
     * @param key - The key.
     * @param value - The value; encoded as JSON unless it is a string.
     */
    write(key: string, value: unknown): void {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.#writeItem(key, Buffer.from(text).toString("base64"), 0);
        this.#publish();
    }

    /**
     * Removes an item.
     * @param key - The key.
     */
    remove(key: string): void {
        this.#removeItem(key);
        this.#publish();
    }

    /** Discards the history of changes. */
    removeHistory(): void {
        this.#events = [];
        this.#historyStart = this.#revision + 1;
    }

    /** Expires all leases, as happens during a store outage. */
    removeLeases(): void {
        this.#leases.forEach((lease, id) => {
            clearTimeout(lease.timer);
            this.#removeLease(id);
        });
    }

    /** Stops telling how often it has returned from a copy. */
    removeEra(): void {
        this.#era = undefined;
    }

    /** Creates a copy from which the store can return later. */
    createCopy(): StoreCopy {
        return {
            items: new Map(this.#items),
            events: [...this.#events],
            revision: this.#revision,
            leases: [...this.#leases.keys()],
            nextLease: this.#nextLease,
        };
    }

    /**
     * Returns from a copy: what was written since is lost, and revisions and ids of leases are given out again.
     * @param copy - The copy.
     */
    restoreCopy(copy: StoreCopy): void {
        this.#items.clear();
        copy.items.forEach((item, key) => this.#items.set(key, item));
        this.#events = [...copy.events];
        this.#revision = copy.revision;
        [...this.#leases.keys()].filter(id => !copy.leases.includes(id)).forEach(id => {
            clearTimeout(this.#leases.get(id)!.timer);
            this.#leases.delete(id);
        });
        this.#nextLease = copy.nextLease;
        this.#era = this.#era === undefined ? undefined : this.#era + 1;
        this.#publish();
    }

    /**
     * Finds the value of an item, as text.
     * @param key - The item's key.
     */
    findValue(key: string): string | undefined {
        const value = this.#items.get(key)?.value;
        return value === undefined ? undefined : Buffer.from(value, "base64").toString();
    }

    /** Gets the keys under a prefix. */
    getKeys(prefix: string): readonly string[] {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        this.calls.push(`${request.method} ${url.pathname}`);
        const isRefused = this.faultMode === StoreFaultMode.StaleOnly && url.searchParams.get("allow_stale") !== "1";
        if (this.faultMode === StoreFaultMode.Unavailable || isRefused) {
            response.writeHead(503).end();
            return;
        }
        if (this.faultMode === StoreFaultMode.Silent) {
            return;
        }
        const body = await readBody(request, MAX_BODY_BYTES);
        const answer = await this.#runCall(request.method ?? "", url, body === undefined ? "" : body.toString());
        if (this.faultMode === StoreFaultMode.LostResponse) {
            response.destroy();
            return;
        }
        response.writeHead(answer.status, {
            "content-type": "application/json",
            ...(this.#era === undefined ? {} : { "store-era": String(this.#era) }),
        });
        response.end(answer.body === undefined ? "" : JSON.stringify(answer.body));
    }

    async #runCall(method: string, url: URL, text: string): Promise<{ status: number; body?: unknown; }> {
        const [, , call, id] = url.pathname.split("/");
        switch (`${method} ${call}`) {
            case "GET kv-range":
                return { status: 200, body: this.#readPage(url.searchParams) };
            case "GET kv-watch":
                return await this.#watch(url.searchParams);
            case "POST kv-txn":
                return this.#runTransaction(JSON.parse(text));
            case "POST kv-lease":
                return this.#createLease(JSON.parse(text));
            case "POST kv-keep":
                return this.#renewLease(Number(id));
            case "DELETE kv-lease-end":
                this.#removeLease(Number(id));
                return { status: 200 };
            default:
                return { status: 404 };
        }
    }

    #readPage(query: URLSearchParams): unknown {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const { items, revision } = this.#stale ?? { items: [...this.#items.values()], revision: this.#revision };
        const found = items.filter(item => item.key.startsWith(prefix) && item.key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return {
            items: found.slice(0, PAGE_ITEMS),
            has_more: found.length > PAGE_ITEMS,
            store_revision: revision,
        };
    }

    async #watch(query: URLSearchParams): Promise<{ status: number; body?: unknown; }> {
        const after = Number(query.get("after"));
        const end = Date.now() + Number(query.get("wait_ms"));
        for (;;) {
            if (this.faultMode === StoreFaultMode.StaleOnly) {
                return { status: 503 };
            }
            if (after + 1 < this.#historyStart || after > this.#revision) {
                return { status: 410 };
            }
            const events = this.#events.filter(event => event.rev > after);
            const remainingMs = end - Date.now();
            if (events.length > 0 || remainingMs <= 0) {
                return { status: 200, body: { events, store_revision: this.#revision } };
            }
            await this.#waitForChange(remainingMs);
        }
    }

    async #waitForChange(limitMs: number): Promise<void> {
        await new Promise<void>(resolve => {
            const checkAgain = (): void => {
                clearTimeout(timer);
                this.#pendingWatches.delete(checkAgain);
                resolve();
            };
            const timer = setTimeout(checkAgain, limitMs);
            this.#pendingWatches.add(checkAgain);
        });
    }

    #runTransaction(body: {
        expect: { key: string; rev: number; }[];
        writes: { key: string; value: string; lease: number; }[];
        deletes: string[];
    }): { status: number; body?: unknown; } {
        const isConflict = body.expect.some(row => (this.#items.get(row.key)?.rev ?? 0) !== row.rev);
        if (isConflict) {
            const items = body.expect.map(row => this.#items.get(row.key)).filter(item => item !== undefined);
            return { status: 412, body: { items } };
        }
        if (body.writes.some(write => write.lease !== 0 && !this.#leases.has(write.lease))) {
            return { status: 404 };
        }
        body.writes.forEach(write => this.#writeItem(write.key, this.changeValue(write.key, write.value), write.lease));
        body.deletes.forEach(key => this.#removeItem(key));
        this.#publish();
        return { status: 200, body: { rev: this.#revision } };
    }

    #createLease(body: { ttl_s_time: number; }): { status: number; body: unknown; } {
        const id = this.#nextLease++;
        const ttlMs = body.ttl_s_time * 1_000;
        this.#leases.set(id, { ttlMs, timer: setTimeout(() => this.#removeLease(id), ttlMs) });
        return { status: 200, body: { lease: id, ttl_s_time: body.ttl_s_time } };
    }

    #renewLease(id: number): { status: number; body?: unknown; } {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return { status: 404 };
        }
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.#removeLease(id), lease.ttlMs);
        return { status: 200, body: { ttl_s_time: lease.ttlMs / 1_000 } };
    }

    #removeLease(id: number): void {
        clearTimeout(this.#leases.get(id)?.timer);
        this.#leases.delete(id);
        [...this.#items.values()].filter(item => item.lease === id).forEach(item => this.#removeItem(item.key));
        this.#publish();
    }

    #writeItem(key: string, value: string, lease: number): void {
        const rev = ++this.#revision;
        const item = { key, value, rev, created: this.#items.get(key)?.created ?? rev, lease };
        this.#items.set(key, item);
        this.#events.push(item);
    }

    #removeItem(key: string): void {
        if (this.#items.delete(key)) {
            this.#events.push({ key, rev: ++this.#revision, tombstone: true });
        }
    }

    #publish(): void {
        this.#pendingWatches.forEach(checkAgain => checkAgain());
    }
}
