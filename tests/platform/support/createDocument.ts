/** Creates a configuration document in the platform's format. */
export function createDocument(change: Record<string, unknown> = {}): Record<string, unknown> {
    const route = {
        timeout_s: 3,
        target_latency_s: 2,
        priority: 2,
        max_attempts: 2,
        public: false,
        host: "shop.example",
    };
    return {
        version: 7,
        routes: {
            "r-lookup": { ...route, prefix: "/lookup/", kind: "safe", service: "catalogue" },
            "r-order": { ...route, prefix: "/order/", kind: "unsafe", service: "orders", priority: 1 },
            "r-books": {
                ...route,
                prefix: "/books/",
                kind: "download",
                traffic_split: [{ service: "books", weight: 90 }, { service: "catalogue", weight: 10 }],
            },
            "r-open": { ...route, prefix: "/lookup/open/", kind: "safe", service: "catalogue", public: true },
        },
        services: {
            catalogue: { health_path: "/health", max_conns: 330, protocol: "h1", tls: false },
            orders: { health_path: "/health", max_conns: 330, protocol: "h1", tls: false },
            books: { health_path: "/health", max_conns: 330, protocol: "h1", tls: false },
        },
        limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15 },
        tenants: {
            clogs: { api_keys: ["key-1", "key-2"], priority: 0, rate_per_s: 34, burst: 34 },
            soles: { api_keys: ["key-3"] },
        },
        base_version: 5,
        ...change,
    };
}
