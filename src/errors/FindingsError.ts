import type { Finding } from "./Finding.js";
import { FuchsiapathError } from "./FuchsiapathError.js";

/** An input was rejected; all validation errors are reported together. */
export class FindingsError extends FuchsiapathError {
    readonly findings: readonly Finding[];

    /** @param findings - All validation errors, at least one. */
    constructor(findings: readonly Finding[]) {
        super(findings.map(finding => `${finding.place}: ${finding.message}`).join("\n"));
        this.findings = findings;
    }
}
