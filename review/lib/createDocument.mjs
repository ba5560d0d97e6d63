// A configuration as the operator writes it, for the service names of the scripts.
export function createDocument(change = {}) {
    const route = {
        host: "shop.example",
        timeout_s: 4,
        target_latency_s: 2,
        priority: 1,
        max_attempts: 2,
        public: false,
    };
    return {
        version: 3,
        routes: {
            "r-lookup": { ...route, prefix: "/lookup/", kind: "safe", service: "catalogue" },
            "r-order": { ...route, prefix: "/order/", kind: "unsafe", service: "orders" },
            "r-open": { ...route, prefix: "/open/", kind: "safe", service: "catalogue", public: true },
        },
        services: {
            catalogue: { health_path: "/health", max_conns: 330 },
            orders: { health_path: "/health", max_conns: 330 },
        },
        limits: { max_header_bytes: 16384, max_body_bytes: 1048576, header_timeout_s: 3, idle_timeout_s: 15 },
        tenants: { clogs: { api_keys: ["key-1"], rate_per_s: 200, burst: 200 } },
        ...change,
    };
}
