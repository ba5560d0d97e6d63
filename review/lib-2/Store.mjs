// A stand-in for the platform's key-value store, in memory, as PROTOCOL.md describes it.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;

export class Store {
    #items = new Map();
    #events = [];
    #revision = 1;
    #leases = new Map();
    #nextLease = 1;
    #waiting = new Set();
    #server = createServer((request, response) => void this.#run(request, response));

    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${this.#server.address().port}`;
    }

    stop() {
        this.#server.closeAllConnections();
        this.#server.close();
        this.#leases.forEach(lease => clearTimeout(lease.timer));
    }

    /** Writes an item as the operator or a backend does. */
    write(key, value) {
        this.#put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.#publish();
    }

    getKeys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    #put(key, value, lease) {
        const rev = ++this.#revision;
        const item = { key, value, rev, created: this.#items.get(key)?.created ?? rev, lease };
        this.#items.set(key, item);
        this.#events.push(item);
    }

    #remove(key) {
        if (this.#items.delete(key)) {
            this.#events.push({ key, rev: ++this.#revision, tombstone: true });
        }
    }

    #publish() {
        [...this.#waiting].forEach(wake => wake());
    }

    async #run(request, response) {
        const chunks = [];
        request.on("error", () => {});
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://store");
        const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined;
        const [status, answer] = await this.#call(request.method, url, body);
        response.writeHead(status, { "content-type": "application/json", "store-era": "1" });
        response.end(answer === undefined ? "" : JSON.stringify(answer));
    }

    async #call(method, url, body) {
        const [, , call, id] = url.pathname.split("/");
        const query = url.searchParams;
        switch (`${method} ${call}`) {
            case "GET kv-key": {
                const item = this.#items.get(query.get("key"));
                return item === undefined ? [404] : [200, { ...item, store_revision: this.#revision }];
            }
            case "GET kv-range": {
                const after = query.get("after") ?? "";
                const found = [...this.#items.values()]
                    .filter(item => item.key.startsWith(query.get("prefix") ?? "") && item.key > after)
                    .sort((left, right) => left.key < right.key ? -1 : 1);
                return [200, {
                    items: found.slice(0, PAGE_ITEMS),
                    has_more: found.length > PAGE_ITEMS,
                    store_revision: this.#revision,
                }];
            }
            case "GET kv-watch":
                return await this.#watch(query);
            case "POST kv-txn":
                return this.#transact(body);
            case "POST kv-lease":
                return [200, { lease: this.#createLease(body.ttl_s_time), ttl_s_time: body.ttl_s_time }];
            case "POST kv-keep":
                return this.#renew(Number(id));
            case "DELETE kv-lease-end":
                this.#endLease(Number(id));
                return [200];
            default:
                return [404];
        }
    }

    async #watch(query) {
        const after = Number(query.get("after"));
        const prefix = query.get("prefix") ?? "";
        const end = performance.now() + Number(query.get("wait_ms"));
        if (after > this.#revision) {
            return [410];
        }
        for (;;) {
            const events = this.#events.filter(event => event.rev > after && event.key.startsWith(prefix));
            const remainingMs = end - performance.now();
            if (events.length > 0 || remainingMs <= 0) {
                return [200, { events, store_revision: this.#revision }];
            }
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.#waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, remainingMs);
                this.#waiting.add(wake);
            });
        }
    }

    #transact({ expect, writes, deletes }) {
        if (expect.some(row => (this.#items.get(row.key)?.rev ?? 0) !== row.rev)) {
            return [412, { items: expect.map(row => this.#items.get(row.key)).filter(item => item !== undefined) }];
        }
        if (writes.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
            return [404];
        }
        writes.forEach(({ key, value, lease }) => this.#put(key, value, lease));
        deletes.forEach(key => this.#remove(key));
        this.#publish();
        return [200, { rev: this.#revision }];
    }

    #createLease(seconds) {
        const id = this.#nextLease++;
        this.#leases.set(id, { seconds, timer: setTimeout(() => this.#endLease(id), seconds * 1_000) });
        return id;
    }

    #renew(id) {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return [404];
        }
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.#endLease(id), lease.seconds * 1_000);
        return [200, { ttl_s_time: lease.seconds }];
    }

    #endLease(id) {
        clearTimeout(this.#leases.get(id)?.timer);
        this.#leases.delete(id);
        [...this.#items.values()].filter(item => item.lease === id).forEach(item => this.#remove(item.key));
        this.#publish();
    }
}
