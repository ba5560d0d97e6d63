/** How long lent tokens count at the giver; longer than the asker waits for them. */
export const LOAN_MS = 120;
