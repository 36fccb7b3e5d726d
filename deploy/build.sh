#!/bin/sh
# Builds target/endivestep.jar and the class data sharing archive with which daemons start.
set -e
mvn -q -B -Dmaven.test.skip=true -Dktlint.skip -Ddetekt.skip -pl protocol,endivestep package
mkdir -p target
cp endivestep/target/endivestep-0.1.0-all.jar target/endivestep.jar
java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile=deploy/classes.lst -XX:SharedArchiveFile=target/endivestep.jsa \
  -Xlog:disable -Xlog:all=off -cp target/endivestep.jar > target/archive.log 2>&1 || cat target/archive.log
