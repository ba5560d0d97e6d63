import type { ServiceRequest } from "../../src/services/index.js";

/**
 * Creates a lookup as a service host gets it.
 * @param change - What differs from the usual.
 */
export function createServiceRequest(change: Partial<ServiceRequest> = {}): ServiceRequest {
    return {
        requestId: "r1",
        account: "shop",
        service: "orders",
        zone: "a",
        method: "GET",
        path: "/",
        headers: {},
        body: Buffer.alloc(0),
        isIdempotent: true,
        timeoutMs: 1_000,
        sentBefore: 0,
        excludedUpstreams: [],
        ...change,
    };
}
