import { PeerUnavailableError } from "../errors/index.js";
import type { Member } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { BorrowTokensParams } from "./BorrowTokensParams.js";
import type { BorrowTokensResult } from "./BorrowTokensResult.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";

const BORROW_TIMEOUT_MS = 100;
const SUSPICION_MS = 1_000;
const ADVANCE_INTERVAL_MS = 20;
const RECENT_LOAN_MS = 1_000;
const MAX_RECENT_ACCOUNTS = 10_000;

/** Borrows tokens from the other account hosts. */
export class TokenLenders {
    readonly #options: RateLimiterOptions;
    readonly #suspectedUntil = new Map<string, number>();
    readonly #lastLoanTimes = new Map<string, number>();

    /** @param options - Clock, membership and transport. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
    }

    /**
     * Gets the reachable account hosts of an account, without this one.
     * @param account - The account's name.
     */
    getHosts(account: string): readonly Member[] {
        const { clock, membership } = this.#options;
        const now = clock.getTime();
        const self = membership.getSelf();
        return membership.getAccountHosts(account).filter(host =>
            host.id !== self.id && (this.#suspectedUntil.get(host.id) ?? 0) <= now && membership.isReachable(host.id)
        );
    }

    /**
     * Borrows tokens from a host; a result after the timeout adds none.
     * @param host - The host.
     * @param params - The account and how many tokens.
     */
    async borrow(host: Member, params: BorrowTokensParams): Promise<BorrowTokensResult> {
        const { clock, transport } = this.#options;
        const end = clock.getTime() + BORROW_TIMEOUT_MS;
        try {
            const method = PeerMethod.BorrowTokens;
            const result = await transport.send(host.peerAddress, method, params, BORROW_TIMEOUT_MS);
            if (clock.getTime() > end) {
                throw new PeerUnavailableError("The tokens arrived after the timeout.", false);
            }
            this.#recordLoan(host, params.account, result);
            return result;
        }
        catch {
            this.#suspectedUntil.set(host.id, clock.getTime() + SUSPICION_MS);
            return { tokens: 0, loanId: 0, isReceiptWanted: false };
        }
    }

    /**
     * Whether tokens of an account that recently borrowed some should be borrowed in advance.
     * @param account - The account's name.
     */
    isAdvanceDue(account: string): boolean {
        const time = this.#lastLoanTimes.get(account);
        const sinceMs = time === undefined ? Infinity : this.#options.clock.getTime() - time;
        return sinceMs <= RECENT_LOAN_MS && sinceMs >= ADVANCE_INTERVAL_MS;
    }

    #recordLoan(host: Member, account: string, result: BorrowTokensResult): void {
        if (result.tokens > 0) {
            this.#sendReceipt(host, account, result);
            this.#lastLoanTimes.delete(account);
            this.#lastLoanTimes.set(account, this.#options.clock.getTime());
            this.#removeOldest();
        }
    }

    /** Confirms the tokens to the lender, where they otherwise count until the loan expires. */
    #sendReceipt(host: Member, account: string, result: BorrowTokensResult): void {
        if (result.isReceiptWanted) {
            const params = { account, loanId: result.loanId };
            const { transport } = this.#options;
            transport.send(host.peerAddress, PeerMethod.ReceiveTokens, params, BORROW_TIMEOUT_MS).catch(() =>
                undefined
            );
        }
    }

    #removeOldest(): void {
        for (const account of this.#lastLoanTimes.keys()) {
            if (this.#lastLoanTimes.size <= MAX_RECENT_ACCOUNTS) {
                return;
            }
            this.#lastLoanTimes.delete(account);
        }
    }
}
