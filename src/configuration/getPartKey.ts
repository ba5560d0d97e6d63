/**
 * Gets the key that identifies a part within its service.
 * @param zone - The part's availability zone.
 * @param index - The part's index within the zone, from 0.
 */
export function getPartKey(zone: string, index: number): string {
    return index === 0 ? zone : `${zone} ${index}`;
}
