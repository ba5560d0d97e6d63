import { test } from "uvu";
import * as assert from "uvu/assert";
import { TokenBucket } from "../../src/rates/TokenBucket.js";

const SHARE = { burst: 5, rate: 10 };

test("a token that is given back after the bucket was full in the meantime is lost", () => {
    const bucket = new TokenBucket(SHARE, 5, 0);
    assert.is(spendAll(bucket, 0), 5);
    assert.is(spendAll(bucket, 1_000), 5);
    Array.from({ length: 5 }, () => bucket.restore(0, 1_000));
    assert.is(spendAll(bucket, 1_000), 0);
});

test("a token that is given back at once can be spent again", () => {
    const bucket = new TokenBucket(SHARE, 5, 0);
    assert.is(spendAll(bucket, 0), 5);
    bucket.restore(0, 20);
    assert.is(spendAll(bucket, 20), 1);
});

test("tokens from other hosts don't fill a bucket above its burst", () => {
    const bucket = new TokenBucket(SHARE, 3, 0);
    bucket.add(4, 0);
    assert.is(bucket.getTokens(0), 5);
});

test("lent tokens take up capacity until their loan is removed", () => {
    const bucket = new TokenBucket(SHARE, 5, 0);
    const loan = bucket.lend({ id: 1, minimum: 0, maximum: 4, end: 300 }, 0);
    assert.is(loan.tokens, 4);
    assert.is(bucket.getTokens(200), 1);
    bucket.removeLoan(1, 200);
    assert.is(bucket.getTokens(400), 3);
});

test.run();

function spendAll(bucket: TokenBucket, time: number): number {
    let count = 0;
    while (bucket.spend(time)) {
        count++;
    }
    return count;
}
