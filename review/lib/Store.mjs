// Stand-in of the platform's key-value store: the calls of PROTOCOL.md, in memory, on a loopback address.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;

export class Store {
    /** "up": serves; "silent": accepts connections and calls, and does not answer; "busy": answers 503. */
    mode = "up";
    /** Addresses of machines that get no answer while the others are served. */
    silentFor = new Set();
    #items = new Map();
    #leases = new Map();
    #events = [];
    #revision = 1;
    #nextLease = 1;
    #waiting = new Set();
    #server = createServer((request, response) => void this.#serve(request, response));

    async start(host = "127.0.0.1") {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        return `${host}:${this.#server.address().port}`;
    }

    stop() {
        this.#leases.forEach(lease => clearTimeout(lease.timer));
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes an item, as the operator or a backend would. */
    write(key, value) {
        this.#write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.#wake();
    }

    remove(key) {
        this.#remove(key);
        this.#wake();
    }

    getKeys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    async #serve(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if (this.mode === "silent" || this.silentFor.has(request.socket.remoteAddress)) {
            return;
        }
        if (this.mode === "busy") {
            response.writeHead(503).end();
            return;
        }
        const url = new URL(request.url, "http://store");
        const { status, body } = await this.#run(request.method, url, Buffer.concat(chunks).toString());
        response.writeHead(status, { "content-type": "application/json" });
        response.end(body === undefined ? "" : JSON.stringify(body));
    }

    async #run(method, url, text) {
        const [, , call, id] = url.pathname.split("/");
        switch (`${method} ${call}`) {
            case "GET kv-key": {
                const item = this.#items.get(url.searchParams.get("key"));
                return item === undefined ? { status: 404 } : { status: 200, body: item };
            }
            case "GET kv-range":
                return { status: 200, body: this.#readPage(url.searchParams) };
            case "GET kv-watch":
                return await this.#watch(url.searchParams);
            case "POST kv-txn":
                return this.#runTransaction(JSON.parse(text));
            case "POST kv-lease": {
                const { ttl_s_time: seconds } = JSON.parse(text);
                const lease = this.#nextLease++;
                this.#leases.set(lease, { seconds, timer: undefined });
                this.#renew(lease);
                return { status: 200, body: { lease, ttl_s_time: seconds } };
            }
            case "POST kv-keep":
                return this.#renew(Number(id)) ? { status: 200, body: {} } : { status: 404 };
            case "DELETE kv-lease-end":
                this.#endLease(Number(id));
                return { status: 200 };
            default:
                return { status: 404 };
        }
    }

    #readPage(query) {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const found = [...this.#items.values()].filter(item => item.key.startsWith(prefix) && item.key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return {
            items: found.slice(0, PAGE_ITEMS),
            has_more: found.length > PAGE_ITEMS,
            store_revision: this.#revision,
        };
    }

    async #watch(query) {
        const after = Number(query.get("after"));
        const prefix = query.get("prefix") ?? "";
        const end = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            const events = this.#events.filter(event => event.rev > after && event.key.startsWith(prefix));
            const remaining = end - performance.now();
            if (events.length > 0 || remaining <= 0) {
                return { status: 200, body: { events, store_revision: this.#revision } };
            }
            await new Promise(resolve => {
                const timer = setTimeout(resolve, remaining);
                this.#waiting.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }

    #runTransaction({ expect = [], writes = [], deletes = [] }) {
        if (expect.some(row => (this.#items.get(row.key)?.rev ?? 0) !== row.rev)) {
            const items = expect.map(row => this.#items.get(row.key)).filter(item => item !== undefined);
            return { status: 412, body: { items } };
        }
        if (writes.some(item => item.lease && !this.#leases.has(item.lease))) {
            return { status: 404 };
        }
        writes.forEach(item => this.#write(item.key, item.value, item.lease ?? 0));
        deletes.forEach(key => this.#remove(key));
        this.#wake();
        return { status: 200, body: { rev: this.#revision } };
    }

    #renew(id) {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return false;
        }
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.#endLease(id), lease.seconds * 1_000);
        return true;
    }

    #endLease(id) {
        clearTimeout(this.#leases.get(id)?.timer);
        this.#leases.delete(id);
        [...this.#items.values()].filter(item => item.lease === id).forEach(item => this.#remove(item.key));
        this.#wake();
    }

    #write(key, value, lease) {
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

    #wake() {
        const waiting = [...this.#waiting];
        this.#waiting.clear();
        waiting.forEach(resume => resume());
    }
}
