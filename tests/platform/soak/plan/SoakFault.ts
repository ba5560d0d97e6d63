import type { StoreFaultMode } from "../../support/StoreFaultMode.js";
import type { UpstreamFaultMode } from "../../support/UpstreamFaultMode.js";
import type { LinkKind } from "./LinkKind.js";
import type { LinkMode } from "./LinkMode.js";
import type { SoakFaultKind } from "./SoakFaultKind.js";

interface FaultTime {
    /** The step at which it begins. */
    readonly step: number;
    /** How many steps it lasts. */
    readonly steps: number;
}

type HostFaultKind = SoakFaultKind.Pause | SoakFaultKind.Kill | SoakFaultKind.Terminate | SoakFaultKind.Reload;

type FaultContent =
    | { readonly kind: HostFaultKind; readonly host: number; }
    | {
        readonly kind: SoakFaultKind.Link;
        readonly link: LinkKind;
        readonly target: number;
        readonly mode: LinkMode;
    }
    | { readonly kind: SoakFaultKind.Store; readonly mode: StoreFaultMode; }
    | { readonly kind: SoakFaultKind.ForgetHistory; }
    | { readonly kind: SoakFaultKind.RestoreStore; }
    | { readonly kind: SoakFaultKind.ChangeKeys; }
    | {
        readonly kind: SoakFaultKind.Upstream;
        readonly upstream: number;
        readonly mode: UpstreamFaultMode;
        /** The share of requests that it concerns, in percent. */
        readonly percent: number;
    }
    | {
        readonly kind: SoakFaultKind.Service;
        readonly service: number;
        readonly mode: UpstreamFaultMode;
        /** The share of requests that it concerns, in percent. */
        readonly percent: number;
    }
    | { readonly kind: SoakFaultKind.Press; readonly callers: number; }
    | { readonly kind: SoakFaultKind.Leave; readonly upstream: number; readonly isReported: boolean; }
    | { readonly kind: SoakFaultKind.Replace; readonly upstream: number; };

/** One fault or change; hosts, services and upstreams are numbers that are taken modulo their count. */
export type SoakFault = FaultTime & FaultContent;
