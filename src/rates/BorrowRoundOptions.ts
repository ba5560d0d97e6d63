import type { Account } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import type { Clock } from "../time/index.js";
import type { TokenBucket } from "./TokenBucket.js";
import type { TokenLenders } from "./TokenLenders.js";

/** Dependencies and account of a borrow round. */
export interface BorrowRoundOptions {
    readonly clock: Clock;
    readonly membership: Membership;
    readonly lenders: TokenLenders;
    readonly account: Account;
    /** Gets this host's bucket with the settings and views of a time applied; undefined once its share was handed over. */
    readonly getBucket: (time: number) => TokenBucket | undefined;
}
