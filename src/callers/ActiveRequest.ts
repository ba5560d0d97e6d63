import type { RouteKind } from "../configuration/index.js";

/** A request in progress. */
export interface ActiveRequest {
    readonly keyId: string | undefined;
    readonly kind: RouteKind;
    readonly controller: AbortController;
}
