const DECIMAL = /^(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i;

/**
 * Parses a field that names requests per second; returns Infinity if the field is missing, undefined if it can't be read.
 * @param value - The field's value.
 */
export function parseRequestRate(value: string | readonly string[] | undefined): number | undefined {
    if (value === undefined) {
        return Infinity;
    }
    const rate = typeof value === "string" && DECIMAL.test(value) ? Number(value) : NaN;
    return Number.isFinite(rate) ? rate : undefined;
}
