import type { HandedOverOrder } from "./HandedOverOrder.js";

/** A part of an incarnation's order records. The sender no longer dispatches orders of this incarnation. */
export interface HandOverOrdersParams {
    readonly memberId: string;
    readonly incarnation: string;
    /** The transfer's id; parts of an abandoned transfer are dropped. */
    readonly transferId: string;
    /** Time since the start of the incarnation, in milliseconds. */
    readonly ageMs: number;
    readonly orders: readonly HandedOverOrder[];
    /** Whether the receiver holds the incarnation's orders from now on. */
    readonly isLast: boolean;
    /** Whether this carries the outcomes of orders that were still running when they were handed over. */
    readonly isUpdate: boolean;
}
