import type { EncodedOutcome } from "../services/index.js";
import type { OrderIdentity } from "./OrderIdentity.js";

/** An order record on its way to a successor. */
export interface HandedOverOrder {
    readonly identity: OrderIdentity;
    readonly ageMs: number;
    /** Undefined while the giver still runs it. */
    readonly outcome?: EncodedOutcome;
}
