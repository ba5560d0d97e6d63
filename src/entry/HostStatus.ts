import type { Member } from "../head/index.js";
import type { UpstreamStatus } from "../services/index.js";
import type { HostState } from "./HostState.js";

/** What an operator sees of an entry host. */
export interface HostStatus {
    readonly state: HostState;
    readonly self: Member;
    /** Whether the host may serve. */
    readonly isCurrent: boolean;
    /** The configuration version in force here. */
    readonly version: number;
    readonly viewVersion: number;
    readonly members: readonly (Member & { readonly isReachable: boolean; })[];
    readonly activeRequests: number;
    readonly upstreams: readonly UpstreamStatus[];
}
