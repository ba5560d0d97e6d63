/**
 * Gets what tells a part of a service from the service's others.
 * @param zone - Its availability zone.
 * @param index - Its number in the zone, from 0.
 */
export function getPartKey(zone: string, index: number): string {
    return index === 0 ? zone : `${zone} ${index}`;
}
