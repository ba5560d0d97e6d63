/** How long lent tokens count against the lender's bucket; longer than the borrower waits for them. */
export const LOAN_MS = 120;
