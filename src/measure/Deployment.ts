import type { ConfigurationDocument } from "../configuration/index.js";

/** A deployment that is measured. */
export interface Deployment {
    readonly name: string;
    /** Folder of the example. */
    readonly folder: string;
    readonly document: ConfigurationDocument;
    /** Keys, "keyId.secret", by account name. */
    readonly keys: Readonly<Record<string, string>>;
}
