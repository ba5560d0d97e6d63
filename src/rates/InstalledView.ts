import type { MembershipView } from "../head/index.js";

/** A membership view with the time at which it came into force on this host. */
export interface InstalledView {
    /** Undefined for the time before this process had a view. */
    readonly view: MembershipView | undefined;
    /** In milliseconds of the clock. */
    readonly since: number;
}
