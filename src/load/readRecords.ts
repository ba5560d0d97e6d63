import { request } from "undici";
import type { UpstreamRecord } from "../standins/index.js";

/**
 * Reads the records of all upstreams.
 * @param urls - The endpoints that have them.
 */
export async function readRecords(urls: readonly string[]): Promise<readonly UpstreamRecord[]> {
    const answers = await Promise.all(urls.map(readFrom));
    return answers.flat();
}

async function readFrom(url: string): Promise<readonly UpstreamRecord[]> {
    const answer = await request(url);
    return (await answer.body.json() as { records: UpstreamRecord[]; }).records;
}
