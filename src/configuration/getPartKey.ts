/** The end of a key that has an index. */
const INDEX = / \d+$/;

/**
 * Gets the key that identifies a part within its service: its zone, followed by its index where that is not 0 or the zone could be
 * taken for one with an index.
 * @param zone - The part's availability zone.
 * @param index - The part's index within the zone, from 0.
 */
export function getPartKey(zone: string, index: number): string {
    return index === 0 && !INDEX.test(zone) ? zone : `${zone} ${index}`;
}
