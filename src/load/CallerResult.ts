import type { OrderRoute } from "./OrderRoute.js";
import type { RequestResult } from "./RequestResult.js";

/** A request's result and the route that its last attempt took. */
export interface CallerResult {
    readonly result: RequestResult;
    readonly route: OrderRoute | undefined;
}
