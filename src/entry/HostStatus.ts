import type { Member } from "../head/index.js";
import type { UpstreamStatus } from "../services/index.js";
import type { HostState } from "./HostState.js";

/** The status of an entry host as reported to operators. */
export interface HostStatus {
    readonly state: HostState;
    readonly self: Member;
    /** Whether the host may serve requests. */
    readonly isCurrent: boolean;
    /** The version of the configuration that this host currently uses. */
    readonly version: number;
    readonly viewVersion: number;
    readonly members: readonly (Member & { readonly isReachable: boolean; })[];
    readonly activeRequests: number;
    readonly upstreams: readonly UpstreamStatus[];
}
