import type { MixItem } from "./MixItem.js";
import type { OrderRoute } from "./OrderRoute.js";

/** One request that a caller has to send. */
export interface CallerTask {
    readonly item: MixItem;
    /** Names the caller's intent. */
    readonly reference: string;
    /** When it is due, on the monotonic clock. */
    readonly dueAt: number;
    /** The route of the answered order that this request repeats. */
    readonly repeatedRoute?: OrderRoute;
}
