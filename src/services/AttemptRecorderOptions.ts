import type { Clock } from "../time/index.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import type { OutlierDetector } from "./OutlierDetector.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import type { RouteLatencies } from "./RouteLatencies.js";
import type { ServiceRequest } from "./ServiceRequest.js";

/** What a recorder of attempts is made of. */
export interface AttemptRecorderOptions {
    readonly clock: Clock;
    readonly judge: OutlierDetector;
    readonly limit: FirstByteLimit;
    /** What each route usually takes. */
    readonly routeLatencies: RouteLatencies;
    /** Gets the wait below which a timeout says nothing of the upstream, in milliseconds. */
    readonly getPatience: (upstream: PooledUpstream, request: ServiceRequest) => number;
    /** Runs after an upstream may take more work. */
    readonly onCapacity: () => void;
}
