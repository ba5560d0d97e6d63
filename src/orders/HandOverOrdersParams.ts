import type { HandedOverOrder } from "./HandedOverOrder.js";

/** A part of an incarnation's order records; the giver has stopped dispatching in its name. */
export interface HandOverOrdersParams {
    readonly memberId: string;
    readonly incarnation: string;
    /** Names the transfer, so that parts of an abandoned one are dropped. */
    readonly transferId: string;
    /** Time since the start of the incarnation, in milliseconds. */
    readonly ageMs: number;
    readonly orders: readonly HandedOverOrder[];
    /** Whether the receiver holds the incarnation's orders from now on. */
    readonly isLast: boolean;
    /** Whether this settles orders that ran when they were handed over. */
    readonly isUpdate: boolean;
}
