/**
 * Gets the token of an operator in a fleet on loopback.
 * @param operator - The operator's name.
 */
export function getOperatorToken(operator: string): string {
    return `example-token-of-${operator}`;
}
