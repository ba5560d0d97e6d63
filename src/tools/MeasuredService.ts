import type { Account, DetectionSettings } from "../configuration/index.js";

/** One service of a deployment as one of its service hosts sees it. */
export interface MeasuredService {
    readonly name: string;
    /** Upstreams in one availability zone. */
    readonly upstreams: number;
    readonly slots: number;
    readonly floor: number;
    readonly queuePerSlot: number;
    readonly detection: DetectionSettings;
    /** Requests a second at this service host. */
    readonly rate: number;
    readonly accounts: readonly Account[];
}
