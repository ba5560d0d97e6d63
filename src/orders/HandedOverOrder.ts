import type { EncodedOutcome } from "../services/index.js";
import type { OrderIdentity } from "./OrderIdentity.js";

/** An order record as sent to a successor. */
export interface HandedOverOrder {
    readonly identity: OrderIdentity;
    readonly ageMs: number;
    /** Undefined while the order still runs at the sender. */
    readonly outcome?: EncodedOutcome;
}
