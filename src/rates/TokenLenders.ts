import { PeerUnavailableError } from "../errors/index.js";
import type { Member } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { BorrowTokensParams } from "./BorrowTokensParams.js";
import type { BorrowTokensResult } from "./BorrowTokensResult.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";

const BORROW_TIMEOUT_MS = 100;
const SUSPICION_MS = 1_000;
const ADVANCE_INTERVAL_MS = 20;
const LENT_LATELY_MS = 1_000;
const MAX_REMEMBERED = 10_000;

/** The other account hosts in their role of lending tokens. */
export class TokenLenders {
    readonly #options: RateLimiterOptions;
    readonly #suspectedUntil = new Map<string, number>();
    readonly #lentTimes = new Map<string, number>();

    /** @param options - Clock, membership and transport. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
    }

    /**
     * Gets the hosts to ask for tokens of an account.
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
     * Asks a host for tokens; an answer that comes too late adds none.
     * @param host - The host.
     * @param params - What is asked for.
     */
    async borrow(host: Member, params: BorrowTokensParams): Promise<BorrowTokensResult> {
        const { clock, transport } = this.#options;
        const end = clock.getTime() + BORROW_TIMEOUT_MS;
        try {
            const method = PeerMethod.BorrowTokens;
            const result = await transport.send(host.peerAddress, method, params, BORROW_TIMEOUT_MS);
            if (clock.getTime() > end) {
                throw new PeerUnavailableError("The tokens came too late.", false);
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
     * Whether an account that got tokens from another host lately should ask for more in advance.
     * @param account - The account's name.
     */
    isAdvanceDue(account: string): boolean {
        const time = this.#lentTimes.get(account);
        const sinceMs = time === undefined ? Infinity : this.#options.clock.getTime() - time;
        return sinceMs <= LENT_LATELY_MS && sinceMs >= ADVANCE_INTERVAL_MS;
    }

    #recordLoan(host: Member, account: string, result: BorrowTokensResult): void {
        if (result.tokens > 0) {
            this.#sendReceipt(host, account, result);
            this.#lentTimes.delete(account);
            this.#lentTimes.set(account, this.#options.clock.getTime());
            this.#removeOldest();
        }
    }

    /** Tells the giver that the tokens no longer count there; without it they count until the loan ends. */
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
        for (const account of this.#lentTimes.keys()) {
            if (this.#lentTimes.size <= MAX_REMEMBERED) {
                return;
            }
            this.#lentTimes.delete(account);
        }
    }
}
