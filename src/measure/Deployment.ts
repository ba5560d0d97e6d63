import type { ConfigurationDocument } from "../configuration/index.js";

/** An example deployment on which scenarios are measured. */
export interface Deployment {
    readonly name: string;
    /** Path of the example's folder. */
    readonly folder: string;
    readonly document: ConfigurationDocument;
    /** API keys in the form "keyId.secret", by account name. */
    readonly keys: Readonly<Record<string, string>>;
}
