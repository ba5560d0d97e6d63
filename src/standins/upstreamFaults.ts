import { z } from "zod";
import { ReportMode } from "./ReportMode.js";

const share = z.number().min(0).max(1);
const duration = z.number().min(0);

/** Faults of an upstream stand-in, with what holds at the start; times are in milliseconds, shares go from 0 to 1. */
export const upstreamFaults = z.strictObject({
    /** Share of the work that is answered with status 500. */
    errorShare: share.default(0),
    /** How many times longer work takes. */
    slowFactor: z.number().positive().default(1),
    /** Share of the answers that are cut in the middle. */
    cutShare: share.default(0),
    /** Share of the answers that come late, by lateMs. */
    lateShare: share.default(0),
    lateMs: duration.default(0),
    /** Share of the answers that are followed by a second answer that nobody asked for. */
    strayShare: share.default(0),
    /** Share of the answers that belong to the request before. */
    crossShare: share.default(0),
    /** The faults above hold in every second period of this length; 0 for always. */
    flapPeriodMs: duration.default(0),
    /** Whether new connections are refused. */
    isRefusing: z.boolean().default(false),
    /** Whether the upstream is leaving. */
    isDraining: z.boolean().default(false),
    /** The requests per second that its answers name as its limit; null for none. */
    requestRate: z.number().min(0).nullable().default(null),
    /** Whether its answers say that it leaves. */
    isLeaving: z.boolean().default(false),
    /** Work is refused with this time to return; 0 if it is not refused. */
    refusalMs: duration.default(0),
    /** Whether such a refusal proves that the work did not run. */
    isRefusalProven: z.boolean().default(true),
    healthMode: z.enum(ReportMode).default(ReportMode.Lagging),
    loadMode: z.enum(ReportMode).default(ReportMode.Lagging),
});
