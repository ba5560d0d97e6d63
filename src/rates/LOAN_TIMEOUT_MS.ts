/** How long lent tokens count at the giver; longer than the asker waits for them. */
export const LOAN_TIMEOUT_MS = 120;
