import type { Clock } from "../../time/index.js";
import type { FirstByteLimit } from "../exchange/FirstByteLimit.js";
import type { UpstreamNotice } from "../exchange/UpstreamNotice.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { OutlierDetector } from "./OutlierDetector.js";
import type { RouteLatencies } from "./RouteLatencies.js";

/** Dependencies of an attempt recorder. */
export interface AttemptRecorderOptions {
    readonly clock: Clock;
    readonly outlierDetector: OutlierDetector;
    readonly limit: FirstByteLimit;
    /** The usual latency of each route. */
    readonly routeLatencies: RouteLatencies;
    /** Gets the shortest wait for which a timeout counts as a failure of the upstream, in milliseconds. */
    readonly getMinFailureWait: (upstream: PooledUpstream, request: ServiceRequest) => number;
    /** Called when an upstream may accept requests again. */
    readonly onCapacityChange: () => void;
    /** Called for each response that says something about its upstream, with whether it is a success. */
    readonly onNotice: (upstream: PooledUpstream, notice: UpstreamNotice, isSuccess: boolean) => void;
}
