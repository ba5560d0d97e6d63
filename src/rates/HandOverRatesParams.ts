import type { HandedOverShare } from "./HandedOverShare.js";

/** Gives shares of rates to another account host; the giver has stopped using them. */
export interface HandOverRatesParams {
    /** The member whose shares these were. */
    readonly memberId: string;
    readonly incarnation: string;
    /** The view in which the receiver holds the shares as its own; undefined to hold them until the giver has left. */
    readonly viewVersion?: number;
    readonly shares: readonly HandedOverShare[];
}
