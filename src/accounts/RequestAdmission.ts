import type { NotRunOutcome } from "../outcomes/index.js";
import { createNotRun, RefusalReason } from "../outcomes/index.js";
import type { RateGrant } from "../rates/index.js";
import type { RequestAdmissionOptions } from "./RequestAdmissionOptions.js";

const RETRY_AFTER_MS = 1_000;

/** Admits one request by freshness, key, quarantine and rate, and gives its token back if it did not run. */
export class RequestAdmission {
    readonly #options: RequestAdmissionOptions;
    #grant: RateGrant | undefined;

    /** @param options - What the admission works with. */
    constructor(options: RequestAdmissionOptions) {
        this.#options = options;
    }

    /** Returns the refusal, or undefined if the request may run. */
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

    /** Gives the token back, as the request did not run. */
    cancel(): void {
        const { account, limiter } = this.#options;
        if (account !== undefined && this.#grant !== undefined) {
            limiter.restore(account, this.#grant);
            this.#grant = undefined;
        }
    }
}
