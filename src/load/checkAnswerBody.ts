import type { Readable } from "node:stream";
import type { UpstreamAnswerHead } from "../standins/index.js";
import { BodyCheck } from "./BodyCheck.js";

const MAX_HEAD_BYTES = 16_384;
const NEWLINE = 10;

interface ReadAnswer {
    readonly head: Buffer;
    readonly bytes: number;
}

/**
 * Checks that an upstream's answer is whole and belongs to its request; reads it without keeping it.
 * @param body - The answer's body.
 * @param path - Path with query of the request.
 */
export async function checkAnswerBody(body: Readable, path: string): Promise<BodyCheck> {
    const answer = await readAnswer(body).catch(() => undefined);
    if (answer === undefined) {
        return BodyCheck.Cut;
    }
    const head = parseHead(answer.head);
    if (head === undefined || head.path !== path) {
        return BodyCheck.Wrong;
    }
    return head.bytes !== undefined && head.bytes !== answer.bytes ? BodyCheck.Cut : BodyCheck.Right;
}

async function readAnswer(body: Readable): Promise<ReadAnswer> {
    let head = Buffer.alloc(0);
    let bytes = 0;
    let isHeadWhole = false;
    for await (const part of body) {
        const chunk = part as Buffer;
        bytes += chunk.length;
        if (!isHeadWhole && head.length < MAX_HEAD_BYTES) {
            head = Buffer.concat([head, chunk.subarray(0, MAX_HEAD_BYTES)]);
            isHeadWhole = head.includes(NEWLINE);
        }
    }
    return { head, bytes };
}

function parseHead(head: Buffer): Partial<UpstreamAnswerHead> | undefined {
    const end = head.indexOf(NEWLINE);
    try {
        return JSON.parse(head.subarray(0, end < 0 ? head.length : end).toString("utf8")) as Partial<
            UpstreamAnswerHead
        >;
    }
    catch {
        return undefined;
    }
}
