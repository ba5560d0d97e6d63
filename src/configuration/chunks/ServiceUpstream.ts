import type { Upstream } from "../Upstream.js";

/** An upstream with the name of its service. */
export interface ServiceUpstream {
    readonly service: string;
    readonly upstream: Upstream;
}
