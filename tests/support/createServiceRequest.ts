import type { ServiceRequest } from "../../src/services/index.js";

/**
 * Creates the request for a lookup that a service host receives.
 * @param change - Fields that differ from the default.
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
