import type { ServiceRequest } from "../../services/index.js";

const TIMEOUT_MS = 60_000;
const ACCOUNTS = 50;

/**
 * Creates a small lookup for measurements.
 * @param service - The service's name.
 * @param index - Its number, which decides the account too.
 */
export function createCapacityRequest(service: string, index: number): ServiceRequest {
    return {
        requestId: `r${index}`,
        account: `account-${index % ACCOUNTS}`,
        service,
        zone: "a",
        method: "GET",
        path: "/orders/1",
        headers: { accept: "application/json" },
        body: Buffer.alloc(0),
        isIdempotent: true,
        timeoutMs: TIMEOUT_MS,
        sentBefore: 0,
        excludedUpstreams: [],
    };
}
