const DECIMAL = /^(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i;

/**
 * Parses a decimal number without a sign; returns undefined if the value is no such number or too large for one.
 * @param value - The value of a header field.
 */
export function parseDecimal(value: string | readonly string[] | undefined): number | undefined {
    const number = typeof value === "string" && DECIMAL.test(value) ? Number(value) : NaN;
    return Number.isFinite(number) ? number : undefined;
}
