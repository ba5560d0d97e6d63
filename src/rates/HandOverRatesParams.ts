import type { HandedOverShare } from "./HandedOverShare.js";

/** Parameters of the call that hands shares of rates over to another account host; the sender no longer uses them. */
export interface HandOverRatesParams {
    /** The member that held the shares before. */
    readonly memberId: string;
    readonly incarnation: string;
    /** The view that grants the receiver these shares; if undefined, the receiver holds them until the sender has left. */
    readonly viewVersion?: number;
    readonly shares: readonly HandedOverShare[];
}
