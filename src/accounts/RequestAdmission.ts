import type { NotRunOutcome } from "../outcomes/index.js";
import { createNotRun, RefusalReason } from "../outcomes/index.js";
import type { RateGrant } from "../rates/index.js";
import type { RequestAdmissionOptions } from "./RequestAdmissionOptions.js";

const RETRY_AFTER_MS = 1_000;

/** Admits one request if this host is current, its key is valid, it is not quarantined and the account is within its rate. */
export class RequestAdmission {
    readonly #options: RequestAdmissionOptions;
    #grant: RateGrant | undefined;

    /** @param options - The request's properties and the admission's dependencies. */
    constructor(options: RequestAdmissionOptions) {
        this.#options = options;
    }

    /** Takes a rate token if the request may run; otherwise returns the refusal. */
    async admit(): Promise<NotRunOutcome | undefined> {
        const { account, fingerprint, isKeyWithdrawn, limiter, membership, quarantine } = this.#options;
        if (!membership.isCurrent()) {
            return createNotRun(RefusalReason.HostNotCurrent, "This entry host can't serve now.", RETRY_AFTER_MS);
        }
        if (isKeyWithdrawn()) {
            return createNotRun(RefusalReason.WithdrawnKey, "The key has been withdrawn.");
        }
        if (quarantine.isQuarantined(fingerprint)) {
            return createNotRun(
                RefusalReason.RequestQuarantined,
                "This request has crashed upstreams; don't repeat it.",
            );
        }
        if (account === undefined) {
            return undefined;
        }
        const decision = await limiter.admit(account);
        if (!decision.isAdmitted) {
            const detail = `Account ${account.name} is above its rate.`;
            return createNotRun(RefusalReason.RateExceeded, detail, decision.retryAfterMs);
        }
        this.#grant = decision.grant;
        return undefined;
    }

    /** Returns the rate token of a request that did not run. */
    cancel(): void {
        const { account, limiter } = this.#options;
        if (account !== undefined && this.#grant !== undefined) {
            limiter.restore(account, this.#grant);
            this.#grant = undefined;
        }
    }
}
