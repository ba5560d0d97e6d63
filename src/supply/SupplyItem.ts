import type { Upstream } from "../configuration/index.js";
import type { Member } from "../head/index.js";
import type { SuppliedDocument } from "./SuppliedDocument.js";
import type { SupplyItemKind } from "./SupplyItemKind.js";

/** An item of the platform's store in the product's terms. */
export type SupplyItem =
    | { readonly kind: SupplyItemKind.Configuration; readonly document: SuppliedDocument; }
    | {
        readonly kind: SupplyItemKind.Upstream;
        readonly service: string;
        readonly upstream: Upstream;
        /** When the upstream's process started, in milliseconds since the Unix epoch; 0 if it does not say. */
        readonly startTime: number;
        /** Rises with each message of the process. */
        readonly sequence: number;
    }
    | { readonly kind: SupplyItemKind.Host; readonly member: Member; }
    | { readonly kind: SupplyItemKind.Other; }
    | { readonly kind: SupplyItemKind.Invalid; readonly reason: string; };
