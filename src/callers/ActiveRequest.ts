import type { RouteKind } from "../configuration/index.js";

/** A request that is being answered. */
export interface ActiveRequest {
    readonly keyId: string | undefined;
    readonly kind: RouteKind;
    readonly controller: AbortController;
}
