/**
 * Gets the key by which the hosts of a client account are selected.
 * @param account - The account's name; undefined for callers without an API key, which no account's key equals.
 */
export function getAccountKey(account: string | undefined): string {
    return account === undefined ? "no account" : `account ${account}`;
}
