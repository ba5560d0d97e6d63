import type { MembershipView } from "../head/index.js";

/** A view with the span of time in which it was in force here. */
export interface InstalledView {
    /** Undefined for the time before this process knew one. */
    readonly view: MembershipView | undefined;
    /** In milliseconds of the clock. */
    readonly since: number;
}
